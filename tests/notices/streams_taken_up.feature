Feature: Streams that broke off, and what the next engine answers

  Scenario Outline: A stream breaks off and the next engines answer with "<answer>"
    Given 2 nodes and four engines that hold the same models
    When 16 streams break off, and all engines answer those that are taken up with "<answer>"
    Then no stream ends as complete before its last event, and none has anything but its events

    Examples:
      | answer   |
      | 500      |
      | 404      |
      | 302      |
      | 421      |
      | 503      |
      | refuse   |
      | empty    |
      | json     |
      | anew     |
      | unsealed |

  Scenario: A stream breaks off, one engine fails to take it up and another one can
    Given 2 nodes and four engines that hold the same models
    When 16 streams break off, and engine "e2" answers those that are taken up with "500"
    Then no stream ends as complete before its last event, and none has anything but its events
    And at least 8 of them go on to their ends
