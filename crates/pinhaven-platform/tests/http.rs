//! Clients of the platform against the stand-in, with injected faults.
//!
//! A write that is reported as without effect although it took effect would be repeated or given up wrongly, so each
//! fault must map to the right kind of error.

use bytes::Bytes;
use http::Request;
use pinhaven_platform::Condition;
use pinhaven_platform::HttpObjectStore;
use pinhaven_platform::HttpTableService;
use pinhaven_platform::ObjectStore;
use pinhaven_platform::PlatformError;
use pinhaven_platform::TableService;
use pinhaven_runtime::HttpClient;
use pinhaven_runtime::block_on;
use pinhaven_stand_in::platform::Platform;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

const TIMEOUT_MS: u64 = 1_500;

fn platform() -> SocketAddr {
    let any = (Ipv4Addr::LOCALHOST, 0).into();
    Platform::start(any, 1).unwrap().address()
}

async fn set_faults(platform: SocketAddr, faults: &str) {
    let request = Request::put("/faults");
    let request = request.body(Bytes::from(faults.to_owned())).unwrap();
    let client = HttpClient::new(platform, 5_000);
    assert!(client.call(request).await.unwrap().status().is_success());
}

#[test]
fn a_row_is_written_only_while_its_condition_holds() {
    block_on(async {
        let table = HttpTableService::new(platform(), TIMEOUT_MS);
        assert_eq!(table.read("a").await.unwrap(), None);
        let first = table.write("a", Condition::Absent, "1".to_owned());
        let first = first.await.unwrap();
        let again = table.write("a", Condition::Absent, "2".to_owned()).await;
        assert!(matches!(again, Err(PlatformError::Conflict { .. })));
        let condition = Condition::Version(first.clone());
        let second = table.write("a", condition, "3".to_owned()).await.unwrap();
        let stale = table.write("a", Condition::Version(first), "4".to_owned());
        assert!(matches!(stale.await, Err(PlatformError::Conflict { .. })));
        let row = table.read("a").await.unwrap().unwrap();
        assert_eq!((row.value.as_str(), row.version), ("3", second));
    });
}

#[test]
fn rows_are_listed_by_key_prefix() {
    block_on(async {
        let table = HttpTableService::new(platform(), TIMEOUT_MS);
        for key in ["a/1", "a/2", "b/1"] {
            let written = table.write(key, Condition::Absent, key.to_owned());
            written.await.unwrap();
        }
        let rows = table.list("a/").await.unwrap();
        let keys: Vec<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        assert_eq!(keys, ["a/1", "a/2"]);
    });
}

#[test]
fn an_object_may_be_written_again_and_does_not_change() {
    block_on(async {
        let objects = HttpObjectStore::new(platform(), TIMEOUT_MS);
        assert_eq!(objects.read("x").await.unwrap(), None);
        objects.write("x", b"1".to_vec()).await.unwrap();
        objects.write("x", b"1".to_vec()).await.unwrap();
        assert_eq!(objects.read("x").await.unwrap(), Some(b"1".to_vec()));
    });
}

#[derive(Debug, PartialEq)]
enum Kind {
    NoEffect,
    Unknown,
}

fn kind_of<T: std::fmt::Debug>(outcome: Result<T, PlatformError>) -> Kind {
    match outcome {
        Err(PlatformError::NoEffect { .. }) => Kind::NoEffect,
        Err(PlatformError::Unknown { .. }) => Kind::Unknown,
        other => panic!("{other:?}"),
    }
}

#[test]
fn each_fault_is_reported_by_its_possible_effect() {
    // (fault, error of a read, error of a write)
    let table_of_faults = [
        (r#"{"table_down": true}"#, Kind::NoEffect, Kind::NoEffect),
        (r#"{"hang_percent": 100}"#, Kind::NoEffect, Kind::Unknown),
        (r#"{"delay_ms": 60000}"#, Kind::NoEffect, Kind::Unknown),
    ];
    block_on(async {
        for (fault, read, write) in table_of_faults {
            let platform = platform();
            let table = HttpTableService::new(platform, TIMEOUT_MS);
            set_faults(platform, fault).await;
            assert_eq!(kind_of(table.read("a").await), read, "{fault}");
            let written = table.write("a", Condition::Absent, "1".to_owned());
            assert_eq!(kind_of(written.await), write, "{fault}");
        }
    });
}

#[test]
fn a_write_whose_answer_is_lost_is_found_by_reading_back() {
    block_on(async {
        let platform = platform();
        let table = HttpTableService::new(platform, TIMEOUT_MS);
        set_faults(platform, r#"{"lost_answer_percent": 100}"#).await;
        let written = table.write("a", Condition::Absent, "mine".to_owned());
        assert_eq!(kind_of(written.await), Kind::Unknown);
        let row = table.read("a").await.unwrap().unwrap();
        assert_eq!(row.value, "mine");
    });
}

#[test]
fn a_call_to_an_unreachable_platform_has_no_effect() {
    block_on(async {
        // A bound port on which nothing listens refuses connections, and no other test can get it meanwhile.
        let any_port: SocketAddr = (Ipv4Addr::LOCALHOST, 0).into();
        let bound = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        bound.bind(&any_port.into()).unwrap();
        let address = bound.local_addr().unwrap().as_socket().unwrap();
        let table = HttpTableService::new(address, TIMEOUT_MS);
        let written = table.write("a", Condition::Absent, "1".to_owned()).await;
        assert_eq!(kind_of(written), Kind::NoEffect);
    });
}
