"""Rebalancing policy that leaves every expert where it is."""

from marigoldramp import placement


class NeverMove(placement.RebalancingPolicy):
    """The baseline without any cost, and the way to switch moves off."""

    async def begin_interval(
        self, *, situation: placement.Situation
    ) -> placement.Proposal | placement.Stay:
        """Stay."""
        return placement.Stay(
            reason='moves are switched off',
            skew=placement.mean_skew(
                layers=situation.layers, popularity=situation.popularity
            ),
        )
