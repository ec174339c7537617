about    = "10,020 endpoints, 4,008 proxies, few reqs for each: does the runtime bear the size, and what do decisions cost?"
day      = "size-day.hcl"
repeats  = 1
budget   = "6m"
policies = ["indigousher"]

factor "size" {
  levels = ["34", "110", "334"]
}
factor "load" {
  levels = ["0.03"]
}
