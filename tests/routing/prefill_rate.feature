Feature: Requests show that an engine has become slow

  Scenario: Late first tokens lower the estimate
    Given an engine with the default prefill rate of 20 tokens per ms
    When 8 requests queued after 8000 tokens get their first token after 2000 ms
    Then its estimated prefill rate is less than 10 tokens per ms

  Scenario: Requests that never get a token lower the estimate too
    Given an engine with the default prefill rate of 20 tokens per ms
    When 8 requests queued after 8000 tokens end without a token after 3000 ms
    Then its estimated prefill rate is less than 10 tokens per ms

  Scenario: A request that ends at once without a token does not change the estimate
    Given an engine with the default prefill rate of 20 tokens per ms
    When 8 requests queued after 8000 tokens end without a token after 10 ms
    Then its estimated prefill rate is 20 tokens per ms

  Scenario: Rates measured by peers are part of the estimate
    Given an engine with the default prefill rate of 20 tokens per ms
    When 3 peers with requests at the engine measure 4 tokens per ms
    Then its estimated prefill rate is less than 10 tokens per ms
