about    = "From 30 to 10,000 endpoints, with proxies, reqs and the channel in step: does a decision hold at size?"
day      = "size-day.hcl"
repeats  = 2
budget   = "9m"
policies = ["indigousher", "even", "oracle"]

factor "size" {
  levels = ["1", "3.4", "11", "34", "110", "334"]
}
