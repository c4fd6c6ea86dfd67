Feature: Requests are served end to end by separate processes

  Scenario: A streaming and a non-streaming request are served through both entries
    Given the shared local deployment
    When the openai client streams a chat completion of 12 tokens through each entry
    Then each answer is the engine's complete answer
    When the openai client requests from each entry a non-streaming completion of 5 tokens
    Then each answer is the engine's complete answer
    And both entries list the same models
    And no engine was overcommitted

  Scenario: Callers without the team's token are refused alike for existing and unknown models
    Given the shared local deployment
    Then a request for "streams/captions" without a token is answered with status 401
    And a request for "streams/nothing" without a token is answered with status 401
    And a request for "streams/captions" with token "wrong" is answered with status 403
    And a request for "grid/defects" without a token is answered with status 200
    And a request for "grid/nothing" without a token is answered with status 404

  Scenario: Limits are answered with problem details
    Given the shared local deployment
    Then a body of 2000000 bytes is answered with status 413
    And a header of 20000 bytes is answered with status 431
    And a request whose deadline has passed is answered with status 504 and outcome "not_run"
    And a body that is not JSON is answered with status 400 and outcome "not_run"

  Scenario: Every process serves a dump without secrets
    Given the shared local deployment
    Then the dump of each process names its VM and holds no token
