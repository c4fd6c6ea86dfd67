Feature: The order holder serves a large fleet from any VM

  # The smallest VMs have links of 5 Mbit/s, which also carry their callers' answers.
  Scenario: The order holder's datagrams do not fill the link of a small VM
    Given 63 VMs, 70 engines, 47 busy models and 189 rare ones
    When callers send 480 requests a second for 8 seconds, 11% for rare models
    Then the order holder sends and receives at most 2.5 Mbit a second
