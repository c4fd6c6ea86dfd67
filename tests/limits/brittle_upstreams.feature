Feature: Upstreams that fall over when they turn too many requests away

  Scenario: Brittle instances get more requests than they have room for
    Given 4 nodes and 3 plain instances that say that they are brittle
    When 120 requests come each second for 10 seconds, of which they can do 80
    Then they fall over at most 2 times, and a tenth of their number
    And at least 40 requests a second are served
