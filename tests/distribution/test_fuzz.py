from tests.distribution.machine import DistributionMachine
from tests.harness.fuzzing import stateful

TestDistributionMachine = DistributionMachine.TestCase
TestDistributionMachine.settings = stateful(examples=60, steps=30)
