//! Rates and bursts counted over the whole fleet by escrow.
