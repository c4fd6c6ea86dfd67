Feature: Models are placed where demand is, and memory is never overcommitted

  Scenario: No plan overcommits an engine or drops what is waited for
    Given fleets, demands and states of any kind
    Then every planned load fits the engine that it is given to
    And no last replica that requests wait for is dropped
    And no engine gets two orders at once

  Scenario: Orders that are lost, late or doubled never overcommit an engine
    Given engines that lose, delay and double orders and restart at any moment
    Then in every history no engine holds more than fits

  Scenario: A rare model does not drive out a busy one
    Given 9 engines of 3 places, 6 busy models and 24 rare ones
    When rare models are asked for one after the other for 30 seconds
    Then every busy model keeps a replica

  Scenario: Loads from the weight store keep their rate over a change of holders
    Given a weight store that allows 2.5 loads a second
    When holders follow each other every 3 seconds and each loads all it may
    Then no 5 seconds hold more than 16 loads

  Scenario: Adapters that callers wait for come first
    Given an engine whose 8 adapter places are full
    When a request waits for a ninth adapter
    Then the adapter that was asked for longest ago is dropped
    And nothing is dropped for an adapter that nobody waits for
