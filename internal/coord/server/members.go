package server

import (
	"context"
	"net/http"
	"time"

	"frostlink/internal/coord/api"
)

func (n *Node) handleMembers(w http.ResponseWriter, r *http.Request) {
	request, ok := n.decodeRequest(w, r)
	if !ok {
		return
	}
	if (request.AddMember == nil) == (request.RemoveMember == 0) {
		writeError(w, http.StatusBadRequest, "join, leave: one of them is wanted")
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), requestTimeout)
	defer stop()
	leading, err := n.proposeMemberChange(ctx, request)
	switch {
	case !leading:
		n.writeNotLeader(ctx, w)
		return
	case err != nil:
		writeError(w, http.StatusConflict, err.Error())
		return
	}
	for !n.memberChangeApplied(ctx, request) {
		select {
		case <-ctx.Done():
			writeError(w, http.StatusServiceUnavailable,
				"not done in time; another change may be under way: look at the members and try again")
			return
		case <-time.After(tick):
		}
	}
	writeJSON(w, http.StatusOK, api.Response{})
}

// proposeMemberChange proposes a membership change, and reports whether this member is the leader.
func (n *Node) proposeMemberChange(ctx context.Context, request api.Request) (leading bool, err error) {
	n.do(ctx, func() {
		leading, _ = n.core.Leadership()
		switch {
		case !leading:
		case request.AddMember != nil:
			err = n.core.AddMember(*request.AddMember)
		default:
			err = n.core.RemoveMember(request.RemoveMember)
		}
	})
	return leading, err
}

// memberChangeApplied reports whether the membership change of a request is applied.
func (n *Node) memberChangeApplied(ctx context.Context, request api.Request) (applied bool) {
	n.do(ctx, func() {
		if request.AddMember != nil {
			applied = n.core.Machine().HasMember(*request.AddMember)
		} else {
			applied = !n.core.Machine().HasMemberID(request.RemoveMember)
		}
	})
	return applied
}
