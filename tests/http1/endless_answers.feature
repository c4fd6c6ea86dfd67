Feature: A node goes on serving others while upstreams answer without end

  # Each guards against answers without end in small chunks that take all of the node's time, so that
  # requests for a sound service get no answer (review/6).
  Scenario Outline: Upstreams send the <part> without end, in chunks of <size> bytes
    Given a node, and <count> upstreams that send the <part> without end in chunks of <size> bytes
    When <callers> callers ask them, and an ordinary request for another service is sent each 0.1 s
    Then each ordinary request has its answer 0.5 s after the time limit of its route at the latest
    And the process lives, and its memory stayed within its limit

    Examples:
      | count | part              | size | callers |
      | 1     | event of a stream | 8    | 1       |
      | 6     | event of a stream | 1    | 40      |
      | 6     | body of a failure | 1    | 40      |
      | 6     | body of a failure | 1000 | 40      |

  # Guards against parsing all that one read brought before anything else may run (review/6).
  Scenario: What one read of an upstream brings is parsed in turns
    Given an upstream's answer in 8192 chunks of one byte with an extension, of which 4 take 1 ms
    When all of it arrives at once
    Then it is parsed in turns of at most 13 ms, and reading waits meanwhile
    And it is complete, also when the connection ends before the last turn

  # Guards against answers without end to the node's own calls, each within the bound for the store.
  Scenario: Engines answer reports and orders without end
    Given a node, and 40 upstreams that send the body of a call without end in chunks of 60000 bytes
    When 40 callers ask them, and an ordinary request for another service is sent each 0.1 s
    Then each ordinary request has its answer 0.5 s after the time limit of its route at the latest
    And the process lives, and its memory stayed within its limit
