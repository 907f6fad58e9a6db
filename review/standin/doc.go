// Command standin plays the cases of the review that are scripts. It starts the relay daemons with the command and the template
// of the deploy file, and stands in for the platform's store, the replicas of plain services and the clients.
//
// # Usage
//
//	standin CASE FOLDER
//
// It runs in the root of the repository and writes record.txt into FOLDER. The exit status is 1 if the rule of the case was
// broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment the disruption is left out.
package main
