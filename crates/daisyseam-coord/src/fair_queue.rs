//! Weighted fair queue across organisations by measured service time.
