// Package group starts goroutines and waits for them. Only this package
// contains a go statement, so that no goroutine outlives the component that
// started it.
package group

import (
	"context"
	"sync"
)

// Group is a set of goroutines with one context. The zero value is not usable;
// call [New].
type Group struct {
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	mu         sync.Mutex
	// closed is true once Close was called; Go then starts no goroutine.
	closed bool
}

// New returns a group whose context ends with ctx or with Close.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	return &Group{ctx: ctx, cancel: cancel}
}

// Context returns the context that the goroutines receive.
func (g *Group) Context() context.Context {
	return g.ctx
}

// Go runs f in a new goroutine and reports true. After Close it reports false
// and does not run f.
func (g *Group) Go(f func(ctx context.Context)) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.goroutines.Add(1)
	go func() {
		defer g.goroutines.Done()
		f(g.ctx)
	}()
	return true
}

// Wait waits for all goroutines to return, without ending the context.
func (g *Group) Wait() {
	g.goroutines.Wait()
}

// Close ends the context and waits for all goroutines to return.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.cancel()
	g.goroutines.Wait()
}
