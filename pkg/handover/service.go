package handover

import (
	"context"
	"time"

	"github.com/medlarsill/medlarsill/pkg/dispatch"
)

// maxReadWait is the longest time that a Read call waits for tokens.
const maxReadWait = time.Second

// service is the RPC interface of a manager.
type service struct {
	m *Manager
}

// Sync stores extensions of copies.
func (s *service) Sync(args *SyncArgs, reply *SyncReply) error {
	reply.States = make([]SyncState, len(args.Extensions))
	for i := range args.Extensions {
		reply.States[i] = s.m.applyExtension(args.Origin, &args.Extensions[i])
	}
	return nil
}

// Locate reports whether this process owns a request or holds a copy of it.
func (s *service) Locate(args *LocateArgs, reply *LocateReply) error {
	*reply = s.m.locateLocal(args.ID)
	return nil
}

// Read waits for released tokens of a request that this process owns.
func (s *service) Read(args *ReadArgs, reply *ReadReply) error {
	f, err := s.m.Flights.Get(args.ID)
	if err != nil {
		return nil
	}
	reply.Found = true
	reply.Lineage = f.Lineage()
	ctx, cancel := context.WithTimeout(context.Background(), min(args.Wait, maxReadWait))
	defer cancel()
	tokens, last, err := f.Log.Read(ctx, args.From)
	if ctx.Err() != nil {
		return nil
	}
	reply.Tokens = tokens
	switch {
	case err != nil:
		reply.Code = dispatch.CodeOf(err)
	case last:
		reply.Code = dispatch.CodeComplete
	}
	return nil
}

// Adopt makes this process the owner of a request of which it holds a copy.
func (s *service) Adopt(args *AdoptArgs, reply *AdoptReply) error {
	reply.Adopted = !(args.Planned && s.m.Owner.Draining()) && s.m.adopt(args.ID)
	return nil
}

// locateLocal returns this process's reply to a Locate call.
func (m *Manager) locateLocal(id string) LocateReply {
	now := m.Now()
	if f, err := m.Flights.Get(id); err == nil {
		return LocateReply{Role: RoleOwner, Origin: m.Self.ID, Job: newJobCopy(f, now), Len: f.Log.Released()}
	}
	c, ok := m.copies.get(id)
	if !ok {
		return LocateReply{}
	}
	return LocateReply{Role: RoleCopy, Origin: c.origin, Job: c.jobCopy(now), Len: len(c.tokens)}
}
