about    = "How old reports may be: from one each 0.2 s to one each 10 s."
day      = "size-day.hcl"
repeats  = 6
budget   = "3m"
policies = ["indigousher", "inverse", "feedback", "even"]

factor "report_s" {
  levels = ["0.2", "0.5", "1", "2", "5", "10"]
}
