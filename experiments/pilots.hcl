about    = "One fleet of 120 endpoints and 240 proxies under 1 to 50 pilots: what does it cost that each knows only its own proxies?"
day      = "pilots-day.hcl"
repeats  = 3
budget   = "4m"
policies = ["indigousher"]

factor "pilots" {
  levels = ["1", "2", "3", "5", "10", "20", "50"]
}
