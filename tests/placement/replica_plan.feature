Feature: A model gets as many replicas as its requests need

  Scenario Outline: A model with far more work than its replicas can do gets a further replica
    Given 9 engines with a model on <replicas> of them and rare models on all
    When requests for the model take the prefill time of <work> engines
    Then a further replica of the model is ordered

    Examples:
      | replicas | work |
      | 1        | 2.5  |
      | 1        | 4.0  |
      | 2        | 4.0  |
      | 3        | 6.0  |

  Scenario: A model whose replicas can do its work gets no further replica
    Given 9 engines with a model on 2 of them and rare models on all
    When requests for the model take the prefill time of 0.4 engines
    Then no further replica of the model is ordered

  Scenario: A model whose only replica is on a slow engine gets one on another engine
    Given 9 engines with a model on 1 of them and rare models on all
    And the first engine runs at 0.15 of the usual speed
    When requests for the model take the prefill time of 0.2 engines
    Then a further replica of the model is ordered

  Scenario: A model whose only replica is on an engine with a request limit gets one elsewhere
    Given 9 engines with a model on 1 of them and rare models on all
    And the first engine takes 1 request a second
    When requests for the model take the prefill time of 0.2 engines
    Then a further replica of the model is ordered
    But none at the first engine

  Scenario: A model that only engines with request limits hold is placed like an absent one
    Given 9 engines with a model on 1 of them and rare models on all
    And the first engine takes 1 request a second
    When requests for the model take the prefill time of 0.05 engines
    Then a further replica of the model is ordered

  Scenario: An engine with a request limit is not the first place for another model
    Given 2 engines with room for a model, the first with a request limit
    When requests for the model take the prefill time of 0.2 engines
    Then a further replica of the model is ordered
    But none at the first engine

  Scenario: An adapter that only an engine with a request limit holds gets a place elsewhere
    Given an engine with a request limit that holds an adapter, and one with its model
    When requests for the adapter arrive
    Then the adapter is ordered at the second engine

  Scenario: Memory is freed by unloading a model without recent requests
    Given an engine with a model requested 0.2 s ago, also held elsewhere, and one requested 8 s ago
    When callers request a third model that does not fit beside them
    Then the model requested 8 s ago is unloaded

  Scenario: A model slot is kept free only by unloading a model without recent requests
    Given 4 engines full of models requested 0.5 s ago, each held twice
    When a plan is made while no request waits
    Then nothing is unloaded
