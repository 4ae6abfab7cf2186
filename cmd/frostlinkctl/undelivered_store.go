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

// add adds the flags to a command and all below it.
func (f *storeFlags) add(c *cobra.Command) {
	flags := c.PersistentFlags()
	flags.StringVar(&f.operatorFile, "operator", "", "the operator's `file`, which names socket and folder")
	flags.StringVar(&f.socket, "socket", "", "the running relay's `socket`")
	flags.StringVar(&f.folder, "folder", "", "the stopped relay's `folder`")
	flags.BoolVar(&f.json, "json", false, "print JSON")
}

// open opens the store: by the socket where a relay answers there, else in the folder.
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
		return nil, errors.New("which store? name --operator FILE, --socket SOCKET or --folder FOLDER")
	}
	return deadletter.OpenFolder(folder, access == readWrite)
}

// locate returns socket and folder of the store: what the flags leave out is in the operator's file.
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
		return "", "", fmt.Errorf("%s has no section [undelivered]: nothing is kept", f.operatorFile)
	}
	if socket == "" {
		socket = config.DeadLetter.Socket
	}
	if folder == "" {
		folder = config.DeadLetter.Folder
	}
	return socket, folder, nil
}

// storeAccess says what a command does with the store.
type storeAccess int

const (
	readOnly storeAccess = iota
	readWrite
)

// storeAction is what a command does with an open store.
type storeAction func(c *cobra.Command, store *deadletter.Client, args []string) error

// storeCommand is a command on a store.
type storeCommand struct {
	flags  *storeFlags
	access storeAccess
	action storeAction
}

// onStore makes a command open the store, act on it and close it.
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
