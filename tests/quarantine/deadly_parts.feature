Feature: A part of prompts crashes each engine that answers a request with it

  Scenario: One part of prompts crashes engine after engine
    Given 4 nodes and 3 engines that hold one model
    When 20 sound requests and 4 with a deadly part come each second for 16 seconds
    Then at most 3 requests with the part reach engines later than 3 seconds after the fifth crash
    And at most 5 engines crash
    And from 6 seconds after the last crash sound requests are served half as often as before or more
