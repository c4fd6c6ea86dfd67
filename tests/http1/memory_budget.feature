Feature: Contents that are kept whole take a bounded part of the memory together

  # Guards against many answers without end at once, each within its own bound.
  Scenario: Many upstreams send bodies without end
    Given a budget of 1000000 bytes and 24 answers of upstreams that are kept whole
    When each of them grows without end, in parts of 16384 bytes
    Then at no time more than the budget and 16384 bytes of each are kept
    And an answer of 800 bytes is kept while the budget is used up
    And nothing is reserved once all are answered

  # Guards against many bodies of callers at once, each within the limit for one.
  Scenario: Many callers send large bodies at once
    Given a budget of 1000000 bytes and 30 callers that send bodies of 90000 bytes at once
    Then those that exceed the budget get 503 with a time to return, and their connections close
    And nothing is reserved once all are answered

  # Guards against whole answers that wait for callers who do not read.
  Scenario: A caller does not read a large answer
    Given a caller that gets an answer of 90000 bytes and does not read
    Then its bytes are reserved until they are written
