//! Mapping between enum variants and the names in a chart.

/// An enum of states or events whose variants have names in a chart.
pub trait ChartSymbol: Copy + PartialEq + 'static {
    /// All variants with their names in the chart.
    const ALL: &'static [(Self, &'static str)];

    /// Returns the variant with this name.
    fn from_name(name: &str) -> Option<Self> {
        Self::ALL
            .iter()
            .find(|(_, text)| *text == name)
            .map(|(symbol, _)| *symbol)
    }

    /// Returns the name in the chart.
    fn name(self) -> &'static str {
        Self::ALL[self.index()].1
    }

    /// Returns the position in [`ChartSymbol::ALL`].
    fn index(self) -> usize {
        Self::ALL
            .iter()
            .position(|(symbol, _)| *symbol == self)
            .unwrap_or(0)
    }
}
