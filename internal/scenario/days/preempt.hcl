about  = "A third of the machines is taken away at once, others come for them."
like   = "quiet"
length = "40s"
seed   = 3

trouble "preempt" {
  at    = "8s"
  for   = "3500ms"
  extra = "1s"
  part  = 0.34
}
trouble "pilot_kill" {
  at  = "9s"
  for = "5s"
  who = ["pilot-1"]
}
