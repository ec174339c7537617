about    = "From 30 to 1,020 endpoints, with proxies, reqs and the channel in step: does a decision hold at size?"
day      = "size-day.hcl"
repeats  = 2
budget   = "6m"
policies = ["indigousher", "even"]

factor "size" {
  levels = ["1", "3.4", "11", "34"]
}
