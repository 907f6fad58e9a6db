// Package mangoverdict keeps in the platform's store which requests crash the replicas that run them, so that this outlasts all
// daemons.
//
// A record stands for one fingerprint, of a request or of a part of prompts. It is written when the fingerprint is blocked or held, and again
// with each further crash, by a hub and away from the path of requests. Daemons get all records with the rest of the store, before they are ready.
// A record is removed when the fingerprint is cleared, or after a day without a crash; an operator may remove it, too.
//
// # Usage
//
// The keeper takes each change of a key below KeyPrefix, and writes records while it runs:
//
//	keeper := mangoverdict.New(self.Name, tracker, store, controller)
//	controller.OnKey(mangoverdict.KeyPrefix, keeper.HandleKey)
//	err := keeper.Run(ctx)
package mangoverdict
