Feature: Upstreams that end the connection within the head of an answer

  Scenario Outline: Heads of answers end at every line and within lines, with a <end>, <how>
    Given 2 nodes of which callers use one that <how>
    When the heads of all answers end at every line and within lines, with a <end>
    Then no caller gets a success, or a refusal of a request that ran
    And none that may run once ran twice

    Examples:
      | end   | how                                 |
      | close | reaches the upstreams               |
      | reset | reaches the upstreams               |
      | close | passes requests on to the other one |
      | reset | passes requests on to the other one |
