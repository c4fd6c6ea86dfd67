Feature: The order holder serves a large fleet from any VM

  # The smallest VMs have links of 5 Mbit/s, which also carry their callers' answers.
  Scenario: The order holder's datagrams do not fill the link of a small VM
    Given 63 VMs, 70 engines, 47 busy models and 189 rare ones
    When callers send 480 requests a second for 8 seconds, 11% for rare models
    Then the order holder sends and receives at most 2.5 Mbit a second

  Scenario: An adapter is loaded before its engine loads a model for seconds
    Given 1 VMs, 1 engines, 3 busy models and 1 rare ones
    When a request for the rare model and one for an adapter of a busy model arrive
    Then the adapter is loaded within 0.5 s
    And the rare model is loaded within 6 s

  # A VM may stand still while a connection opens, and another one be elected.
  Scenario: An order is not sent when the right to send it ends while its connection opens
    Given an order holder whose connections to engines take a while to open
    When its right ends while the connection for an order opens
    Then no order is written to the connection

  Scenario: Callers learn when an adapter of a busy engine should be loaded
    Given an engine that holds a model and accepts orders in 1.5 s
    When a request waits for an adapter of the model
    Then the adapter is expected in 1.6 s
