package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"frostlink/internal/deadletter"
	"frostlink/internal/operatorconfig"
)

// storeFlags are the flags of all commands on a dead-letter store.
type storeFlags struct {
	operatorFile string
	socket       string
	folder       string
	json         bool
}

// add adds the flags to a command and all its subcommands.
func (f *storeFlags) add(c *cobra.Command) {
	flags := c.PersistentFlags()
	flags.StringVar(&f.operatorFile, "operator", "", "the operator's `file`, which names the socket and the folder")
	flags.StringVar(&f.socket, "socket", "", "the `socket` of the running relay")
	flags.StringVar(&f.folder, "folder", "", "the `folder` of the stopped relay's store")
	flags.BoolVar(&f.json, "json", false, "print JSON")
}

// open opens the store through the relay's socket if a relay answers there, and otherwise in its folder.
func (f *storeFlags) open(access storeAccess) (*deadletter.Client, error) {
	socket, folder, err := f.locate()
	if err != nil {
		return nil, err
	}
	if socket != "" {
		store, err := deadletter.Connect(socket)
		if err == nil || folder == "" {
			return store, err
		}
	}
	if folder == "" {
		return nil, errors.New("no store given: name --operator FILE, --socket SOCKET or --folder FOLDER")
	}
	return deadletter.OpenFolder(folder, access == readWrite)
}

// locate returns the socket and the folder of the store, as given by the flags. A value without a flag is taken from the operator's
// file, if that is given.
func (f *storeFlags) locate() (socket, folder string, err error) {
	socket, folder = f.socket, f.folder
	if f.operatorFile == "" {
		return socket, folder, nil
	}
	config, err := operatorconfig.Read(f.operatorFile)
	if err != nil {
		return "", "", err
	}
	if config.DeadLetter == nil {
		return "", "", fmt.Errorf("%s has no section [undelivered], so no messages are kept", f.operatorFile)
	}
	if socket == "" {
		socket = config.DeadLetter.Socket
	}
	if folder == "" {
		folder = config.DeadLetter.Folder
	}
	return socket, folder, nil
}

// storeAccess is the access to the store that a command needs.
type storeAccess int

const (
	readOnly storeAccess = iota
	readWrite
)

// storeAction is the function of a command that works on an open store.
type storeAction func(c *cobra.Command, store *deadletter.Client, args []string) error

// storeCommand is a command on a store.
type storeCommand struct {
	flags  *storeFlags
	access storeAccess
	action storeAction
}

// onStore sets a command up to open the store, run the action on it, and close it.
func onStore(c *cobra.Command, f *storeFlags, access storeAccess, action storeAction) *cobra.Command {
	c.RunE = (&storeCommand{flags: f, access: access, action: action}).run
	return c
}

func (s *storeCommand) run(c *cobra.Command, args []string) (err error) {
	store, err := s.flags.open(s.access)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	return s.action(c, store, args)
}
