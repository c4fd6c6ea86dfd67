Feature: Upstreams that fail rest and are tried again

  Scenario: An upstream that fails part of its requests rests
    Given an upstream that fails 45 of 100 requests and reports itself healthy
    When 60 requests are sent to it, none while it rests
    Then it rested at least once
    And an upstream that fails 4 of 100 requests never rested

  Scenario: An upstream that is not reached rests at once, each time for longer up to a limit
    Given an upstream that is not reached
    Then its rests grow from 0.4 to 4 seconds
    And successful answers shorten the next rest
