Feature: Upstreams' entries when the store comes back from a copy

  Scenario: A copy lacks an upstream that runs
    Given upstream "e1" is known, and the copy from which the store comes back lacks it
    Then it gets requests for 2 seconds, and none after 3 seconds
    But it gets requests after 3 seconds if it has written its entry again

  Scenario: A copy has an upstream that left
    Given upstream "e1" has left, and the copy from which the store comes back has it
    Then it gets no requests for 4 seconds, and requests after 6 seconds
    But it gets none after 6 seconds if the platform has removed it again

  Scenario: A copy has an upstream as ready that is draining
    Given upstream "e1" is draining, and the copy from which the store comes back has it as ready
    Then it gets no requests for 6 seconds
    But it gets requests once it has started again
