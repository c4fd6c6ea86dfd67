Feature: Requests stay within the limits that upstreams name

  # Each VM sent as before once an engine had named a limit for all VMs together.
  Scenario: An engine gets more requests than the limit that it named
    Given 8 nodes, and an engine that names a limit of 1.2 requests a second
    When callers send 16 requests a second for its model through all nodes for 12 seconds
    Then in any 4 seconds the engine gets at most 1.5 times its limit and 5 requests
