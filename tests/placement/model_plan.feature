Feature: Models are placed where demand is, and memory is never overcommitted

  Scenario: No plan overcommits an engine or unloads a last replica that requests wait for
    Given arbitrary fleets, demands and states
    Then every planned load fits its engine
    And no last replica that requests wait for is unloaded
    And no engine gets two orders at once

  Scenario: Orders that are lost, late or duplicated never overcommit an engine
    Given engines that lose, delay and double orders and restart at any moment
    Then in every history no engine holds more than fits

  Scenario: A rare model does not displace a busy one
    Given 9 engines of 3 slots, 6 busy models and 24 rare ones
    When rare models are requested one after the other for 30 seconds
    Then every busy model keeps a replica

  Scenario: Loads from the weight store stay within its rate across changes of the order holder
    Given a weight store that allows 2.5 loads a second
    When the order holder changes every 3 seconds and each starts as many loads as allowed
    Then no 5 seconds contain more than 16 loads: the rate, a tenth of it and 3 loads

  Scenario: An adapter that requests wait for replaces the least recently requested one
    Given an engine whose 8 adapter slots are full
    When a request waits for a ninth adapter
    Then the least recently requested adapter is unloaded
    And nothing is unloaded for an adapter that no request waits for

  Scenario: A rare model is placed although many busy ones lack replicas
    Given 60 engines without models, and 40 busy models that need replicas
    When a request waits for a rare model
    Then the plan loads the rare model

  Scenario Outline: A rare model that is refused again and again comes before a further replica
    Given an engine for one more model, and a busy model that needs a second replica
    When a request waits for a rare model after <refused> refused ones
    Then the plan loads the <loaded> model

    Examples:
      | refused | loaded |
      | 0       | busy   |
      | 12      | rare   |

  Scenario: Requests for an item count as unserved until an engine holds it
    Given a VM that reported 3 requests for a model that no engine holds
    When it reports 2 more
    Then 3 requests for the model are unserved
    When an engine holds the model
    Then 0 requests for the model are unserved
