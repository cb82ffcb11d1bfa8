//! Tests that answers agree with the committed writes of many sessions under random faults.

mod support;

use daisyseam_engine::{
    RefusalKind,
    RequestVerb,
    SessionAnswer, //
};
use daisyseam_model::Execution;
use rand::{
    Rng,
    SeedableRng,
    seq::IndexedRandom, //
};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use support::{
    Fleet,
    caller::{
        BEGIN,
        FakeCaller,
        execute,
        prepare,
        read,
        set,
        write, //
    },
    database::Fault, //
};
use test_case::test_case;
use tokio::time::sleep;

/// The result of one write, or of the writes of one transaction.
struct Attempt {
    texts: Vec<String>,
    /// Whether the writes must have been committed; `None` if the outcome is unknown.
    committed: Option<bool>,
}

/// A caller with the state that it expects.
struct RandomCaller {
    caller: FakeCaller,
    random: ChaCha8Rng,
    name: usize,
    value: Option<String>,
    attempts: Vec<Attempt>,
    served: usize,
}

impl RandomCaller {
    async fn run(mut self, rounds: usize) -> (Vec<Attempt>, usize) {
        let shape = format!("shape-{}", self.name);
        self.caller.ok(prepare("s", &shape)).await;
        for round in 0..rounds {
            let text = format!("write {}-{round}", self.name);
            match self.random.random_range(0..6) {
                0 => self.change_value(round).await,
                1 => self.read().await,
                2 => {
                    let answer = self.caller.ask(execute("s", "1")).await;
                    if answer.outcome.is_ok() {
                        assert_eq!(answer.rows, [format!("{shape} 1")]);
                    }
                }
                3 => {
                    let answer = self.caller.ask(write(&text)).await;
                    self.record(vec![text], &answer);
                }
                _ => self.transaction(text).await,
            }
            sleep(Duration::from_millis(self.random.random_range(0..20))).await;
        }
        (self.attempts, self.served)
    }

    async fn change_value(&mut self, round: usize) {
        let value = format!("{}-{round}", self.name);
        self.caller.ok(set("v", &value)).await;
        self.value = Some(value);
    }

    async fn read(&mut self) {
        let answer = self.caller.ask(read("read x")).await;
        if answer.outcome.is_ok() {
            let value = self.value.as_ref();
            let expected = value.map_or_else(String::new, |value| format!(" v={value}"));
            assert_eq!(answer.rows, [format!("read x{expected}")]);
        }
    }

    async fn transaction(&mut self, text: String) {
        self.caller.ok(BEGIN).await;
        let texts: Vec<String> = (0..3).map(|number| format!("{text}-{number}")).collect();
        for text in &texts {
            self.read_in_transaction().await;
            let _ = self.caller.ask(write(text)).await;
            sleep(Duration::from_millis(self.random.random_range(0..5))).await;
        }
        if self.random.random_bool(0.2) {
            let answer = self.caller.ask(RequestVerb::Rollback).await;
            assert!(answer.outcome.is_ok());
            let committed = Some(false);
            self.attempts.push(Attempt { texts, committed });
            return;
        }
        let answer = self.caller.ask(RequestVerb::Commit).await;
        self.record(texts, &answer);
    }

    async fn read_in_transaction(&mut self) {
        if self.random.random_bool(0.5) {
            self.read().await;
        }
    }

    fn record(&mut self, texts: Vec<String>, answer: &SessionAnswer) {
        let committed = match &answer.outcome {
            Ok(_) => Some(true),
            Err(error) if error.kind.row().execution == Execution::NotRun => Some(false),
            Err(_) => None,
        };
        self.served += usize::from(committed == Some(true));
        self.attempts.push(Attempt { texts, committed });
    }
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[tokio::test(start_paused = true)]
async fn answers_agree_with_what_was_kept(seed: u64) {
    let fleet = Fleet::start(8);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut tasks = Vec::new();
    for name in 0..24 {
        let key = ["key-one", "key-two"].choose(&mut random).unwrap();
        let mut caller = fleet.caller("primary", key);
        caller.opened().await;
        let task = RandomCaller {
            caller,
            random: ChaCha8Rng::seed_from_u64(seed << 8 | name),
            name: usize::try_from(name).unwrap(),
            value: None,
            attempts: Vec::new(),
            served: 0,
        };
        tasks.push(tokio::spawn(task.run(40)));
    }
    while tasks.iter().any(|task| !task.is_finished()) {
        inject_fault(&fleet, &mut random);
        sleep(Duration::from_millis(random.random_range(0..60))).await;
    }
    let committed = fleet.databases.with("p", |p| p.committed.clone());
    let mut served = 0;
    for task in tasks {
        let (attempts, good) = task.await.unwrap();
        served += good;
        for attempt in &attempts {
            check_attempt(attempt, &committed);
        }
    }
    assert!(served > 100, "{served}");
    assert!(fleet.databases.with("p", |p| p.max_open) <= 7);
}

/// Makes the next call of a random kind fail.
fn inject_fault(fleet: &Fleet, random: &mut ChaCha8Rng) {
    let calls = [
        "write", "commit", "begin", "read", "execute", "set", "rollback",
    ];
    let call = calls.choose(random).unwrap();
    let refusals = [
        RefusalKind::Busy,
        RefusalKind::Busy,
        RefusalKind::ReadOnly,
        RefusalKind::Failed,
        RefusalKind::UnknownStatement,
    ];
    let fault = match random.random_range(0..6) {
        0 => Fault::LoseReply,
        1 => Fault::NoReply,
        _ => Fault::Refuse(*refusals.choose(random).unwrap()),
    };
    fleet.databases.fault("p", call, fault);
}

/// Checks that the writes of an attempt were committed exactly once or not at all, all alike, and
/// as answered.
fn check_attempt(attempt: &Attempt, committed: &[String]) {
    let times = |text: &String| committed.iter().filter(|write| *write == text).count();
    let counts: Vec<usize> = attempt.texts.iter().map(times).collect();
    let all = counts.iter().all(|count| *count == 1);
    let none = counts.iter().all(|count| *count == 0);
    assert!(all || none, "{:?}: {counts:?}", attempt.texts);
    if let Some(expected) = attempt.committed {
        assert_eq!(all, expected, "{:?}", attempt.texts);
    }
}
