//! Guards against failed primaries that are not replaced, and against the replacement of working
//! ones. The members are stand-ins, and a simple monitor stands in for that of the daemon.

mod group;

use std::time::Duration;
use std::time::Instant;

use magnoliahatch_core::failure_detector::PeerReports;
use magnoliahatch_core::failure_detector::PrimaryObservation;
use magnoliahatch_daemon::election::Command;

use crate::group::Daemon;
use crate::group::Group;
use crate::group::eventually;

/// Longest time that the replacement of a primary may take.
const FAILOVER_LIMIT: Duration = Duration::from_secs(6);

/// Number of failovers in the longest test.
const ROUNDS: i32 = 3;

#[tokio::test(flavor = "multi_thread")]
async fn dead_primary_is_replaced_and_no_confirmed_row_is_lost() {
    let mut group = Group::start().await;
    let daemons = [
        Daemon::start(&group, "h1", 0),
        Daemon::start(&group, "h2", 0),
        Daemon::start(&group, "h3", 0),
    ];
    Daemon::connect_all(&daemons);
    for value in 0..20 {
        group.confirmed_insert("m1", value).await;
    }
    let before = Instant::now();
    group.stop("m1");
    let primary = group.new_primary(2).await;
    let promoted = before.elapsed();
    group.confirmed_insert(&primary, 20).await;
    let elapsed = before.elapsed();
    println!("promoted after {promoted:?}, first confirmed write after {elapsed:?}");
    assert!(elapsed < FAILOVER_LIMIT, "{elapsed:?}");
    let all: Vec<i32> = (0..21).collect();
    assert_eq!(group.values(&primary).await, Some(all.clone()));
    // The old primary restarts with its log and follows the new one.
    group.restart("m1").await;
    eventually("m1 follows", async || {
        group.values("m1").await.as_ref() == Some(&all)
    })
    .await;
    let status = group.status("m1").await.expect("m1 answers");
    assert_eq!(status[1], "replica");
}

/// Guards against elections that obstruct each other. The number of daemons is that of the largest
/// known installation.
#[tokio::test(flavor = "multi_thread")]
async fn nine_daemons_replace_one_primary_after_the_other() {
    let mut group = Group::start().await;
    let daemons: Vec<Daemon> = (0..9)
        .map(|at| Daemon::start(&group, &format!("h{at}"), 0))
        .collect();
    Daemon::connect_all(&daemons);
    let mut primary = "m1".to_owned();
    let mut term = 1;
    let mut values = Vec::new();
    for round in 0..ROUNDS {
        group.confirmed_insert(&primary, round).await;
        values.push(round);
        let before = Instant::now();
        group.stop(&primary);
        let next = group.new_primary(term + 1).await;
        group.confirmed_insert(&next, 100 + round).await;
        values.push(100 + round);
        let elapsed = before.elapsed();
        println!("{primary} replaced by {next} after {elapsed:?}");
        assert!(elapsed < FAILOVER_LIMIT, "{elapsed:?}");
        values.sort_unstable();
        assert_eq!(group.values(&next).await.as_ref(), Some(&values));
        group.restart(&primary).await;
        let returned = std::mem::replace(&mut primary, next);
        eventually("the old primary follows", async || {
            group.values(&returned).await.as_ref() == Some(&values)
        })
        .await;
        let status = group.status(&primary).await.expect("the primary answers");
        term = status[2].parse().expect("a term");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_primary_is_replaced_and_follows_when_it_thaws() {
    let group = Group::start().await;
    let daemons = [
        Daemon::start(&group, "h1", 0),
        Daemon::start(&group, "h2", 0),
    ];
    Daemon::connect_all(&daemons);
    group.confirmed_insert("m1", 1).await;
    let before = Instant::now();
    group.member("m1").set_frozen(true);
    let primary = group.new_primary(2).await;
    let elapsed = before.elapsed();
    println!("frozen primary replaced after {elapsed:?}");
    assert!(elapsed < FAILOVER_LIMIT, "{elapsed:?}");
    group.member("m1").set_frozen(false);
    group.confirmed_insert(&primary, 3).await;
    eventually("m1 follows", async || {
        group.values("m1").await == Some(vec![1, 3])
    })
    .await;
    assert_eq!(group.values(&primary).await, Some(vec![1, 3]));
}

#[tokio::test(flavor = "multi_thread")]
async fn primary_cut_off_from_the_daemons_confirms_nothing_and_drops_its_tail() {
    let group = Group::start().await;
    let daemons = [
        Daemon::start(&group, "h1", 0),
        Daemon::start(&group, "h2", 0),
    ];
    Daemon::connect_all(&daemons);
    group.confirmed_insert("m1", 1).await;
    daemons.iter().for_each(|daemon| daemon.block("m1"));
    let primary = group.new_primary(2).await;
    // Clients may still reach the old primary, which does not know of the new term.
    group.insert("m1", 2).await.expect("the old primary writes");
    let status = group.status("m1").await.expect("m1 answers");
    assert_eq!(status[1..3], ["primary", "1"]);
    let call = format!("wait(1, {}, 100)", status[4]);
    let answer = group.command("m1", &call).await.expect("waited");
    assert_ne!(answer[1], status[4], "the old primary confirmed a write");
    group.confirmed_insert(&primary, 3).await;
    daemons.iter().for_each(Daemon::unblock);
    eventually("m1 follows", async || {
        group.values("m1").await == Some(vec![1, 3])
    })
    .await;
    assert_eq!(group.values(&primary).await, Some(vec![1, 3]));
}

#[tokio::test(flavor = "multi_thread")]
async fn daemon_that_alone_cannot_reach_the_primary_does_not_depose_it() {
    let group = Group::start().await;
    let daemon = Daemon::start(&group, "h1", 0);
    let reaches = PrimaryObservation {
        term: 1,
        reachable: true,
    };
    daemon.set_peers(&[("h2", reaches), ("h3", reaches)]);
    daemon.block("m1");
    eventually("the daemon notices", async || {
        daemon.observation().is_some_and(|own| !own.reachable)
    })
    .await;
    // Long enough for an election to complete, had the daemon started one.
    let watched = tokio::time::timeout(Duration::from_secs(2), daemon.elected()).await;
    assert!(watched.is_err(), "it promoted {watched:?}");
    let status = group.status("m1").await.expect("m1 answers");
    assert_eq!(status[1..3], ["primary", "1"]);
    // Once a second daemon agrees, this one replaces the primary.
    let cannot_reach = PrimaryObservation {
        reachable: false,
        ..reaches
    };
    daemon.set_peers(&[("h2", cannot_reach), ("h3", reaches)]);
    daemon.elected().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn group_whose_candidate_died_after_fencing_gets_a_primary() {
    let group = Group::start().await;
    group.confirmed_insert("m1", 1).await;
    for member in ["m1", "m2"] {
        let row = group.command(member, "fence(7, 'dead')").await;
        assert_eq!(row.expect("fenced")[0], "true");
    }
    let daemon = Daemon::start(&group, "h1", 0);
    daemon.elected().await;
    let primary = group.new_primary(8).await;
    group.confirmed_insert(&primary, 2).await;
    assert_eq!(group.values(&primary).await, Some(vec![1, 2]));
}

#[tokio::test(flavor = "multi_thread")]
async fn group_whose_candidate_died_after_promoting_is_joined_again() {
    let group = Group::start().await;
    group.confirmed_insert("m1", 1).await;
    for member in ["m1", "m2", "m3"] {
        group
            .command(member, "fence(7, 'dead')")
            .await
            .expect("fenced");
    }
    let row = group.command("m1", "promote(7, 'dead')").await;
    assert_eq!(row.expect("promoted")[0], "true");
    let _daemon = Daemon::start(&group, "h1", 0);
    group.confirmed_insert("m1", 2).await;
    let status = group.status("m1").await.expect("m1 answers");
    assert_eq!(status[1..3], ["primary", "7"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn switchover_prefers_the_named_member() {
    let group = Group::start().await;
    let daemon = Daemon::start(&group, "h1", 0);
    group.confirmed_insert("m1", 1).await;
    eventually("all have received the row", async || {
        let one = Some(vec![1]);
        group.values("m3").await == one && group.values("m2").await == one
    })
    .await;
    let preferred = Some("m3".to_owned());
    daemon
        .command(Command::Switchover {
            preferred,
            replaces: 1,
        })
        .await;
    let elected = daemon.elected().await;
    assert_eq!(elected.member, "m3");
    group.confirmed_insert("m3", 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unvouched_daemon_deposes_nobody() {
    let mut group = Group::start().await;
    let daemon = Daemon::start(&group, "h1", 0);
    daemon.set_raw_peers(PeerReports::default());
    group.stop("m1");
    eventually("the daemon notices", async || {
        daemon.observation().is_some_and(|own| !own.reachable)
    })
    .await;
    let watched = tokio::time::timeout(Duration::from_secs(1), daemon.elected()).await;
    assert!(watched.is_err(), "it promoted {watched:?}");
}
