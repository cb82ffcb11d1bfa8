//! Reports and replies of shares survive the way through their messages.

use daisyseam_coord::quota::{
    DemandEntry,
    GrantEntry,
    RateKey,
    RateShare,
    RegistrationId,
    ShareReply,
    ShareReport, //
    TransferTotal,
};
use daisyseam_wire::{
    WireShareReply,
    WireShareReport, //
};
use proptest::prelude::*;
use prost::Message;

fn total() -> impl Strategy<Value = TransferTotal> {
    (any::<u64>(), any::<u64>(), any::<u64>()).prop_map(|(rate, burst, tokens)| TransferTotal {
        share: RateShare { rate, burst },
        tokens,
    })
}

fn key() -> impl Strategy<Value = RateKey> {
    "(open/)?[a-z][a-z0-9]{0,20}".prop_map(|text| RateKey::parse(&text).unwrap())
}

proptest! {
    #[test]
    fn a_report_survives(
        numbers in any::<(u64, u64, u64, bool)>(),
        entries in prop::collection::vec((key(), any::<(u64, u64)>(), total(), total(), total()), 0..4),
    ) {
        let (epoch, number, sequence, leaving) = numbers;
        let entries = entries.into_iter().map(|(key, (demand_rate, token_shortfall), base, applied, returned)| DemandEntry {
            key,
            demand_rate,
            token_shortfall,
            base: base.share,
            applied,
            returned,
        });
        let registration = RegistrationId { epoch, number };
        let report = ShareReport { registration, sequence, leaving, entries: entries.collect() };
        let bytes = WireShareReport::present(&report).encode_to_vec();
        prop_assert_eq!(WireShareReport::decode(&bytes[..]).unwrap().read().unwrap(), report);
    }

    #[test]
    fn a_reply_survives(
        numbers in any::<(u64, u64, u64, bool)>(),
        grants in prop::collection::vec((key(), total(), total(), any::<bool>()), 0..4),
    ) {
        let (epoch, number, sequence, renewed) = numbers;
        let grants = grants.into_iter().map(|(key, granted, recalled, on_demand)| GrantEntry {
            key,
            granted,
            recalled: recalled.share,
            on_demand,
        });
        let registration = RegistrationId { epoch, number };
        let reply = ShareReply { registration, sequence, renewed, grants: grants.collect() };
        let bytes = WireShareReply::present(&reply).encode_to_vec();
        prop_assert_eq!(WireShareReply::decode(&bytes[..]).unwrap().read().unwrap(), reply);
    }
}

#[test]
fn a_key_that_is_no_name_is_refused() {
    let mut message = WireShareReport::default();
    message.entries.push(Default::default());
    assert!(message.read().is_err());
}
