// Package discovery follows the endpoint list, either a source that streams changes over the framed protocol or a file
// that is watched for changes. It posts lists and changes to the controller as they arrive.
package discovery
