about  = "The pilots restart one by one, asked to stop each time, while endpoints drain."
like   = "quiet"
length = "40s"
seed   = 3

trouble "pilot_roll" {
  at    = "6s"
  extra = "1s"
  every = "5s"
}
trouble "drain" {
  at  = "7s"
  for = "4s"
  who = ["a-std-1"]
}
trouble "pilot_roll" {
  at    = "22s"
  extra = "500ms"
  every = "4s"
}
trouble "drain" {
  at  = "23s"
  for = "4s"
  who = ["b-std-2"]
}
