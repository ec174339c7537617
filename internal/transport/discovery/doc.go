// Package discovery follows the endpoint list, which comes either from a source that streams changes over the framed
// protocol or from a file that is watched for changes. It posts lists and changes to the inbox of the pilot's control
// loop (internal/controller) as they arrive.
package discovery
