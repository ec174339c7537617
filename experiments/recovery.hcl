about    = "450 proxies and 328 endpoints, two pilots killed together while endpoints hang and drain: with a record and without."
day      = "recovery-day.hcl"
repeats  = 12
budget   = "5m"
policies = ["indigousher"]

factor "record" {
  levels = ["0", "1"]
}
