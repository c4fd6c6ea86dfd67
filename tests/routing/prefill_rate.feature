Feature: An engine that turned slow is found out by its requests

  Scenario: Requests that come late show it
    Given an engine believed to read 20 tokens a ms
    When 8 requests behind 8000 tokens get their first token after 2000 ms
    Then it is believed to read less than 10 tokens a ms

  Scenario: Requests that never get a token show it too
    Given an engine believed to read 20 tokens a ms
    When 8 requests behind 8000 tokens end without a token after 3000 ms
    Then it is believed to read less than 10 tokens a ms

  Scenario: A request that ends at once without a token shows nothing
    Given an engine believed to read 20 tokens a ms
    When 8 requests behind 8000 tokens end without a token after 10 ms
    Then it is believed to read 20 tokens a ms

  Scenario: What peers see counts
    Given an engine believed to read 20 tokens a ms
    When 3 peers that work with it see 4 tokens a ms
    Then it is believed to read less than 10 tokens a ms
