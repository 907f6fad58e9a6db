// Package mangosetting reads the INI settings of a daemon and checks them against the message Settings of the
// schema. Sections and keys are the fields of the schema; their rules are the Setting options of the fields.
//
// # Usage
//
// Load reads a file and reports all faults at once:
//
//	settings, err := mangosetting.Load("/etc/mangopath/mangopath.ini")
//	var fault *mangosetting.Error
//	if errors.As(err, &fault) {
//		for _, f := range fault.Faults { ... }
//	}
//
// Effective prints the settings in force, defaults included, with secrets redacted.
//
// # Format
//
// Comments stand on their own lines and begin with # or ;. Values are not quoted and run to the end of the
// line. Durations and sizes carry units, such as 250ms and 1MiB. Lists are comma-separated.
package mangosetting
