Feature: Upstreams that fail are left alone and tried again

  Scenario: An upstream that fails part of its requests is left alone
    Given an upstream that fails 45 of 100 requests and says that it is well
    When 60 requests are sent to it, none while it rests
    Then it rested at least once
    And one that fails 4 of 100 requests never rested

  Scenario: An upstream that is not reached rests at once, for longer each time, never for long
    Given an upstream that is not reached
    Then its rests grow from 0.4 to 4 seconds
    And one good answer shortens the next rest
