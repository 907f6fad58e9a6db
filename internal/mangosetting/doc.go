// Package mangosetting reads the INI settings file of a daemon and checks it against a protobuf message: Settings for an
// entry host, RelaySettings for a relay. The sections are the fields of that message and the keys are the fields of the
// section's message. The option Setting of a field has its rule, such as its format, default and range.
//
// # Usage
//
// Load reads a file and returns all its faults in one error:
//
//	settings, err := mangosetting.Load("/etc/mangopath/mangopath.ini")
//	var fault *mangosetting.Error
//	if errors.As(err, &fault) {
//		for _, f := range fault.Faults { ... }
//	}
//
// Effective returns the settings in force as INI text, with defaults filled in and secrets redacted.
//
// # Format
//
// Comments stand on their own lines and begin with # or ;. Values are not quoted and run to the end of the
// line. Durations and sizes carry units, such as 250ms and 1MiB. Lists are comma-separated.
package mangosetting
