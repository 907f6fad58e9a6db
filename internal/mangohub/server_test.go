package mangohub

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Guards against a daemon that is not told of a loss since a hub takes it for a follower that gets its announcements: one that has
// never followed the hub, has left it, or follows it for the store only.
func TestFollows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewServer("hub", NewMirror(), WithServerLogger(quietLogger()))
		ctx, cancel := context.WithCancel(t.Context())
		for _, request := range []*mangomessage.FollowRequest{
			{From: &mangomessage.Member{Name: "follower"}}, {From: &mangomessage.Member{Name: "store-only"}, StoreOnly: true},
		} {
			go func() { _ = s.Serve(ctx, request, func(*mangomessage.FollowUpdate) error { return nil }) }()
		}
		synctest.Wait()
		is.True(s.Follows("follower"))
		is.True(!s.Follows("store-only"))
		is.True(!s.Follows("other"))
		cancel()
		synctest.Wait()
		is.True(!s.Follows("follower"))
	})
}
