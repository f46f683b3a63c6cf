Feature: Zones that are cut off
  A zone that loses the platform or the other zones goes on serving what it can,
  and refuses the rest truthfully.

  Scenario: A zone loses the platform and gets it back
    Given zones north and south with 2 entries and 2 upstreams each
    When zone north loses the platform without an answer
    Then a request in zone north is answered
    And a marked request without a key in zone north is answered
    And a marked request with a key in zone north is refused as not run
    And a job in zone north is refused as not run
    And a marked request with a key in zone south is answered
    When a change is accepted in zone south
    Then it is in force in zone north within 3000 ms
    When zone north gets the platform back
    Then a marked request with a key in zone north is answered within 10 s
    And a job in zone north is accepted within 10 s

  Scenario: A zone loses the platform and all other zones, and both return
    Given zones north and south with 2 entries and 2 upstreams each
    When zone north loses the platform without an answer
    And every entry of zone south is paused
    Then a request in zone north is answered
    And zone north counts the entries of zone south as lost within 3000 ms
    And a request in zone north is answered
    When every entry of zone south resumes
    And zone north gets the platform back
    Then every entry counts every other as alive within 10 s
    And a request in zone south is answered
    And no request ran twice

  Scenario: A fresh entry starts while its zone has lost the platform
    Given zones north and south with 2 entries and 2 upstreams each
    When zone north loses the platform without an answer
    And the first entry of zone north is killed and replaced
    Then the first entry of zone north has the configuration within 5 s
    And a request at the first entry of zone north is answered within 10 s
