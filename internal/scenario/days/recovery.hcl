about  = "All pilots die together, twice, while endpoints hang, drain and come cold; they record and recover."
like   = "quiet"
length = "40s"
seed   = 3

fleet {
  record = true
}
trouble "hang" {
  at  = "4s"
  for = "24s"
  who = ["a-std-0", "b-std-0"]
}
trouble "pilot_kill" {
  at  = "12s"
  for = "1s"
}
trouble "drain" {
  at  = "12300ms"
  for = "4s"
  who = ["c-std-1"]
}
trouble "crash" {
  at  = "19s"
  for = "3s"
  who = ["c-std-2"]
}
trouble "pilot_kill" {
  at  = "24s"
  for = "1s"
}
