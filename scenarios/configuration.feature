Feature: Configuration without the store
  A configuration that was accepted is in force wherever an entry runs.

  Scenario: An entry that starts while the store is down takes the version of its peers
    Given 2 entry in zone north with 1 upstreams in pool desk
    And class quotes of pool desk answers within 2000 ms
    When the store goes down
    And entry 2 is stopped and started again
    Then entry 2 has version 1 in force
