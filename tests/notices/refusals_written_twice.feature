Feature: A faulty instance writes an earlier refusal once more on a kept connection

  Scenario Outline: An earlier refusal comes <how> an answer, <whose>
    Given 2 nodes and a plain instance that writes an earlier refusal <how> each answer, <whose>
    When 48 requests are sent that may run once, and 48 that may be repeated
    Then no request that is answered as not run has run, and none that may run once ran twice
    And at most <failed> of those that may run once are not answered

    Examples:
      | how     | whose                         | failed |
      | before  | with the earlier request's ID | 0      |
      | before  | without an ID                 | 0      |
      | instead | with the earlier request's ID | 48     |
      | after   | with the earlier request's ID | 0      |
      | after   | without an ID                 | 0      |

  Scenario: A caller sends one ID twice, and the refusal of the first is written again
    Given 1 nodes and a plain instance that writes an earlier refusal before each answer, with the earlier request's ID
    When a caller sends a request once more with the ID of one that was refused
    Then its answer does not say that it did not run
