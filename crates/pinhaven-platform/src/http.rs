//! Table service and object store over HTTP conditional requests.
//!
//! Errors distinguish calls without effect from calls whose effect is unknown. Reads and calls that never reached the
//! platform have no effect. A write without an answer, or with a server error other than 503, may have taken effect.

use crate::Condition;
use crate::ForeignRow;
use crate::ForeignRows;
use crate::ObjectStore;
use crate::PlatformError;
use crate::PlatformStep;
use crate::Row;
use crate::RowFault;
use crate::RowVersion;
use crate::TableService;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::ETAG;
use http::header::IF_MATCH;
use http::header::IF_NONE_MATCH;
use pinhaven_runtime::CallError;
use pinhaven_runtime::HttpClient;
use serde_json::Value;
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Client of the table service over HTTP.
pub struct HttpTableService {
    caller: Caller,
    foreign: ForeignRows,
}

/// Client of the object store over HTTP.
pub struct HttpObjectStore(Caller);

impl HttpTableService {
    /// Creates a client of the service at `peer` whose calls take at most `timeout_ms`.
    pub fn new(peer: SocketAddr, timeout_ms: u64) -> Self {
        Self {
            caller: Caller(HttpClient::new(peer, timeout_ms)),
            foreign: ForeignRows::new(),
        }
    }

    /// Records that a row of another writer was read and skipped.
    pub fn record_skipped(&self, table: &str, key: &str, fault: &RowFault) {
        self.foreign.record_skipped(table, key, fault);
    }

    /// Number of times each row of another writer was skipped.
    pub fn foreign_rows(&self) -> BTreeMap<ForeignRow, u64> {
        self.foreign.counts()
    }
}

impl HttpObjectStore {
    /// Creates a client of the store at `peer` whose calls take at most `timeout_ms`.
    pub fn new(peer: SocketAddr, timeout_ms: u64) -> Self {
        Self(Caller(HttpClient::new(peer, timeout_ms)))
    }
}

/// A row of a listing. A row of another writer may lack fields or have fields of other types.
struct ListedRow(Value);

impl ListedRow {
    fn key(&self) -> &str {
        self.text("key").unwrap_or_default()
    }

    fn to_row(&self) -> Result<Row, RowFault> {
        Ok(Row {
            key: self.text("key")?.to_owned(),
            version: RowVersion::new(self.text("version")?),
            value: self.text("value")?.to_owned(),
        })
    }

    fn text(&self, field: &str) -> Result<&str, RowFault> {
        let text = self.0.get(field).and_then(Value::as_str);
        text.ok_or_else(|| RowFault::form(format!("field {field} is not a string")))
    }
}

impl TableService for HttpTableService {
    async fn read(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        let call = Call::new(PlatformStep::ReadRow, Method::GET, "table", key);
        let response = self.caller.call(&call, Bytes::new()).await?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => Ok(Some(Row {
                key: key.to_owned(),
                version: self.caller.row_version(&call, &response)?,
                value: String::from_utf8_lossy(response.body()).into_owned(),
            })),
            status => Err(self.caller.no_effect(&call, status)),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Row>, PlatformError> {
        let call = Call::new(PlatformStep::ListRows, Method::GET, "list", prefix);
        let response = self.caller.call(&call, Bytes::new()).await?;
        if response.status() != StatusCode::OK {
            return Err(self.caller.no_effect(&call, response.status()));
        }
        // Rows are decoded one by one: a single one may be nested more deeply, or have a larger number, than the decoder
        // accepts.
        let rows: Vec<&RawValue> = match serde_json::from_slice(response.body()) {
            Ok(rows) => rows,
            Err(error) => return Err(self.caller.no_effect(&call, error)),
        };
        let rows = rows.into_iter().filter_map(|row| {
            let listed = match serde_json::from_str(row.get()) {
                Ok(listed) => ListedRow(listed),
                Err(error) => {
                    self.record_skipped(prefix, "", &RowFault::form(error));
                    return None;
                }
            };
            listed
                .to_row()
                .inspect_err(|fault| self.record_skipped(prefix, listed.key(), fault))
                .ok()
        });
        Ok(rows.collect())
    }

    async fn write(
        &self,
        key: &str,
        condition: Condition,
        value: String,
    ) -> Result<RowVersion, PlatformError> {
        let mut call = Call::new(PlatformStep::WriteRow, Method::PUT, "table", key);
        call.condition = Some(condition);
        let response = self.caller.call(&call, Bytes::from(value)).await?;
        match response.status() {
            StatusCode::OK | StatusCode::CREATED => self.caller.row_version(&call, &response),
            status => Err(self.caller.write_error(&call, status)),
        }
    }
}

impl ObjectStore for HttpObjectStore {
    async fn read(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let call = Call::new(PlatformStep::ReadObject, Method::GET, "objects", key);
        let response = self.0.call(&call, Bytes::new()).await?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => Ok(Some(response.into_body().to_vec())),
            status => Err(self.0.no_effect(&call, status)),
        }
    }

    async fn write(&self, key: &str, bytes: Vec<u8>) -> Result<(), PlatformError> {
        let mut call = Call::new(PlatformStep::WriteObject, Method::PUT, "objects", key);
        call.condition = Some(Condition::Absent);
        let response = self.0.call(&call, Bytes::from(bytes)).await?;
        match response.status() {
            // The key of an object contains its digest, so an object that exists already is identical.
            StatusCode::OK | StatusCode::CREATED | StatusCode::PRECONDITION_FAILED => Ok(()),
            status => Err(self.0.write_error(&call, status)),
        }
    }
}

/// A call to the platform, with the parts that errors report.
struct Call<'key> {
    step: PlatformStep,
    method: Method,
    root: &'static str,
    key: &'key str,
    condition: Option<Condition>,
}

impl<'key> Call<'key> {
    fn new(step: PlatformStep, method: Method, root: &'static str, key: &'key str) -> Self {
        Self {
            step,
            method,
            root,
            key,
            condition: None,
        }
    }
}

struct Caller(HttpClient);

impl Caller {
    async fn call(&self, call: &Call<'_>, body: Bytes) -> Result<Response<Bytes>, PlatformError> {
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(format!("/{}/{}", call.root, call.key));
        request = match &call.condition {
            None => request,
            Some(Condition::Absent) => request.header(IF_NONE_MATCH, "*"),
            Some(Condition::Version(version)) => request.header(IF_MATCH, version.as_str()),
        };
        let request = match request.body(body) {
            Ok(request) => request,
            Err(error) => return Err(self.no_effect(call, error)),
        };
        self.0
            .call(request)
            .await
            .map_err(|error| self.call_error(call, error))
    }

    fn call_error(&self, call: &Call<'_>, error: CallError) -> PlatformError {
        if call.method == Method::GET || error.is_not_sent() {
            self.no_effect(call, error)
        } else {
            self.unknown(call, error)
        }
    }

    /// Error of a write that was answered with a failure status. A write had no effect if the status is below 500 or
    /// 503, and an unknown effect with other server errors.
    fn write_error(&self, call: &Call<'_>, status: StatusCode) -> PlatformError {
        if status == StatusCode::PRECONDITION_FAILED {
            PlatformError::Conflict {
                step: call.step,
                key: call.key.to_owned(),
                peer: self.0.peer(),
            }
        } else if status.is_server_error() && status != StatusCode::SERVICE_UNAVAILABLE {
            self.unknown(call, status)
        } else {
            self.no_effect(call, status)
        }
    }

    fn row_version(
        &self,
        call: &Call<'_>,
        response: &Response<Bytes>,
    ) -> Result<RowVersion, PlatformError> {
        let tag = response
            .headers()
            .get(ETAG)
            .and_then(|tag| tag.to_str().ok());
        match tag {
            Some(tag) => Ok(RowVersion::new(tag)),
            None => Err(self.unknown(call, "the answer has no ETag")),
        }
    }

    fn no_effect(&self, call: &Call<'_>, message: impl ToString) -> PlatformError {
        PlatformError::NoEffect {
            step: call.step,
            key: call.key.to_owned(),
            peer: self.0.peer(),
            message: message.to_string(),
        }
    }

    fn unknown(&self, call: &Call<'_>, message: impl ToString) -> PlatformError {
        PlatformError::Unknown {
            step: call.step,
            key: call.key.to_owned(),
            peer: self.0.peer(),
            message: message.to_string(),
        }
    }
}
