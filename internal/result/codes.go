package result

// The codes, in ranges of a hundred by topic: 1000 general, 1100 settings, 1200
// platform, 1300 requests, 1400 jobs, 1500 bundles, 1600 membership and security,
// 1700 journal and leases, 1800 workers. A code keeps its number and its name,
// which callers and logs contain.
const (
	OK       Code = 1000
	Internal Code = 1001

	SettingsUnreadable   Code = 1100
	SettingsSyntax       Code = 1101
	SettingsUnknownField Code = 1102
	SettingsType         Code = 1103
	SettingsUnit         Code = 1104
	SettingsMissing      Code = 1105
	SettingsRange        Code = 1106
	SettingsAddress      Code = 1107
	SettingsDuplicate    Code = 1108
	SettingsZone         Code = 1109
	SettingsKeyFile      Code = 1110
	SettingsTrailingData Code = 1111
	SettingsConflict     Code = 1112

	PlatformRefused  Code = 1200
	PlatformUnknown  Code = 1201
	PlatformConflict Code = 1202
	PlatformNotFound Code = 1203
	PlatformLimited  Code = 1204
	PlatformBadCall  Code = 1205

	RequestBad          Code = 1300
	RequestTooLarge     Code = 1301
	ServiceUnknown      Code = 1302
	NoUpstream          Code = 1303
	QueueFull           Code = 1304
	TooLate             Code = 1305
	TimedOut            Code = 1306
	UpstreamFailed      Code = 1307
	UpstreamTruncated   Code = 1308
	OutcomeUnknown      Code = 1309
	KeyBusy             Code = 1310
	KeyMismatch         Code = 1311
	KeyStoreUnavailable Code = 1312
	ShuttingDown        Code = 1313
	CallerGone          Code = 1314
	OrganisationLimited Code = 1315
	OrganisationUnknown Code = 1316
	KeyResponseTooLarge Code = 1317
	UpstreamRefused     Code = 1318
	NotReady            Code = 1319
	RequestUnsupported  Code = 1320
	Overloaded          Code = 1321

	JobBad        Code = 1400
	JobExists     Code = 1401
	JobUnknown    Code = 1402
	JobNeverRuns  Code = 1403
	QuotaExceeded Code = 1404
	JobWaiting    Code = 1405
	JobNotStored  Code = 1406
	NotOwner      Code = 1407
	JobCancelled  Code = 1408
	LoanBad       Code = 1409
	JobRefused    Code = 1410
	JobNoRoom     Code = 1411
	JobTooLarge   Code = 1412
	QueueUnknown  Code = 1419

	ZoneUnknown    Code = 1450
	ZoneRequestBad Code = 1451
	ZonesOutOfUse  Code = 1452

	BundleBad         Code = 1500
	BundleConflict    Code = 1501
	BundleUnsigned    Code = 1502
	BundleSignature   Code = 1503
	BundleStrandsWork Code = 1504
	BundleUnknown     Code = 1505
	BundleOutdated    Code = 1506
	BundleSelfReview  Code = 1507

	PeerUnknown     Code = 1600
	PeerDeployment  Code = 1601
	PeerExpired     Code = 1602
	PeerRefused     Code = 1603
	PeerUnavailable Code = 1604
	PeerBusy        Code = 1605

	OwnershipLost       Code = 1700
	JournalUnavailable  Code = 1701
	JournalCorrupt      Code = 1702
	LeaseExpired        Code = 1703
	LeaseBoundExhausted Code = 1704

	WorkerEpoch        Code = 1800
	WorkerGrantExpired Code = 1801
	WorkerIncarnation  Code = 1802
	WorkerUnavailable  Code = 1803
	WorkerFull         Code = 1804
	TaskCrashesWorkers Code = 1805
)

// table describes every code, in ascending order.
var table = []Info{
	{OK, "ok", 200, false, "The work was done and the response is complete."},
	{Internal, "internal", 500, false, "An internal error; the log has the cause."},

	{SettingsUnreadable, "settings-unreadable", 500, true, "The settings file cannot be read."},
	{SettingsSyntax, "settings-syntax", 500, true, "The settings file is not valid JSON."},
	{SettingsUnknownField, "settings-unknown-field", 500, true, "The settings contain an unknown field."},
	{SettingsType, "settings-type", 500, true, "A settings field has a value of the wrong type."},
	{SettingsUnit, "settings-unit", 500, true, "A duration or size has no unit or an invalid one."},
	{SettingsMissing, "settings-missing", 500, true, "A required settings field is missing or empty."},
	{SettingsRange, "settings-range", 500, true, "A settings value is outside its allowed range."},
	{SettingsAddress, "settings-address", 500, true, "An address is not an IP address with a port."},
	{SettingsDuplicate, "settings-duplicate", 500, true, "An address or name is used twice."},
	{SettingsZone, "settings-zone", 500, true, "The availability zone is missing or unknown."},
	{SettingsKeyFile, "settings-key-file", 500, true, "A key or certificate file cannot be read, or key and certificate do not match."},
	{SettingsTrailingData, "settings-trailing", 500, true, "The settings file has data after the settings object."},
	{SettingsConflict, "settings-conflict", 500, true, "Two settings contradict each other."},

	{PlatformRefused, "platform-refused", 503, true, "The platform refused the call; it had no effect."},
	{PlatformUnknown, "platform-unknown", 503, false, "The platform's response was lost; the call may have taken effect."},
	{PlatformConflict, "platform-conflict", 409, true, "A condition of a table write was not met; nothing was written."},
	{PlatformNotFound, "platform-not-found", 404, true, "The row or object does not exist."},
	{PlatformLimited, "platform-limited", 503, true, "The platform's rate limit was reached; nothing was written."},
	{PlatformBadCall, "platform-bad-call", 400, true, "The platform rejected the call as malformed."},

	{RequestBad, "request-bad", 400, true, "A header, path or body of the request is not valid."},
	{RequestTooLarge, "request-too-large", 413, true, "The body or the headers exceed their size limit."},
	{ServiceUnknown, "service-unknown", 404, true, "No service with that name is configured."},
	{NoUpstream, "no-upstream", 503, true, "No upstream of the service can take the request now."},
	{QueueFull, "queue-full", 503, true, "The request queue of the organisation and class is full."},
	{TooLate, "too-late", 503, true, "The request cannot be served within its deadline."},
	{TimedOut, "timed-out", 504, false, "The deadline passed after the request was sent to an upstream."},
	{UpstreamFailed, "upstream-failed", 502, false, "The upstream failed after the request was sent."},
	{UpstreamTruncated, "upstream-broken", 502, false, "The upstream's response ended before it was complete."},
	{OutcomeUnknown, "outcome-unknown", 502, false, "The request was sent; it is unknown whether it ran, and it is not sent again."},
	{KeyBusy, "key-busy", 409, false, "A request with the same idempotency key is still running."},
	{KeyMismatch, "key-mismatch", 422, true, "The idempotency key was used for a different request."},
	{KeyStoreUnavailable, "key-store-away", 503, true, "The idempotency key cannot be stored now."},
	{ShuttingDown, "shutting-down", 503, true, "The instance is shutting down."},
	{CallerGone, "caller-gone", 499, false, "The caller closed the connection before the response."},
	{OrganisationLimited, "tenant-limited", 429, true, "The organisation exceeds its share while others are waiting."},
	{OrganisationUnknown, "tenant-unknown", 403, true, "The organisation is not in the bundle in force."},
	{KeyResponseTooLarge, "key-answer-too-large", 409, false, "The request with this idempotency key ran, but its response was too large to store."},
	{UpstreamRefused, "upstream-refused", 503, true, "The upstream refused the request and confirmed that it did not run it."},
	{NotReady, "not-ready", 503, true, "The instance has no configuration in force yet."},
	{RequestUnsupported, "request-unsupported", 501, true, "The request uses a feature that is not supported."},
	{Overloaded, "overloaded", 503, true, "The instance has no memory left for the request; other clients hold what they may hold."},

	{JobBad, "job-bad", 400, true, "The job's description is not valid."},
	{JobExists, "job-exists", 409, true, "A different job with this id exists."},
	{JobUnknown, "job-unknown", 404, true, "No job with this id exists."},
	{JobNeverRuns, "job-never-runs", 422, true, "No worker could ever run a task of the job."},
	{QuotaExceeded, "quota-exceeded", 429, true, "The job exceeds the organisation's quota."},
	{JobWaiting, "job-waits", 200, true, "The task is waiting for a worker."},
	{JobNotStored, "job-not-stored", 503, false, "It is unknown whether the job was stored; submit it again with the same id."},
	{NotOwner, "not-owner", 503, true, "The instance does not own the shard."},
	{JobCancelled, "job-cancelled", 409, false, "The job was cancelled."},
	{LoanBad, "loan-bad", 400, true, "The task that another shard lends is not valid; the task stays with its shard."},
	{JobRefused, "job-refused", 503, true, "The job was not accepted and never runs; submit it again later."},
	{JobNoRoom, "job-no-room", 429, true, "The job was not accepted and never runs: it would not end in time, or would keep others from it. Submit it again after the time in the response."},
	{JobTooLarge, "job-too-large", 413, true, "The job was not accepted and never runs: the platform's store has no room for a row of its size."},
	{QueueUnknown, "queue-unknown", 404, true, "The configuration in force has no queue of that name."},

	{ZoneUnknown, "zone-unknown", 404, true, "The deployment has no availability zone of this name."},
	{ZoneRequestBad, "zone-request-bad", 400, true, "The content of a request to take a zone out of use is not readable; the zone that its key names is out of use."},
	{ZonesOutOfUse, "zones-out-of-use", 503, true, "Every availability zone with workers for the job is out of use; the job was not accepted and never runs."},

	{BundleBad, "bundle-bad", 400, true, "The bundle is not valid; the response lists every reason."},
	{BundleConflict, "bundle-conflict", 409, true, "Another bundle was accepted first."},
	{BundleUnsigned, "bundle-unsigned", 403, true, "The bundle does not have enough sign-offs."},
	{BundleSignature, "bundle-signature", 403, true, "A signature is not valid."},
	{BundleStrandsWork, "bundle-strands", 409, true, "The bundle removes an organisation or service that running work needs, or sets a quota below what running work holds."},
	{BundleUnknown, "bundle-unknown", 404, true, "No bundle with this hash or version exists."},
	{BundleOutdated, "bundle-outdated", 409, true, "The bundle's base version is not the version in force."},
	{BundleSelfReview, "bundle-self-review", 403, true, "The author of the bundle cannot sign it off."},

	{PeerUnknown, "peer-unknown", 404, true, "No known peer has this id."},
	{PeerDeployment, "peer-deployment", 403, true, "The peer belongs to another deployment."},
	{PeerExpired, "peer-expired", 403, true, "The peer's certificate has expired or is not yet valid."},
	{PeerRefused, "peer-refused", 403, true, "The peer's certificate is not signed by a known authority or names another process."},
	{PeerUnavailable, "peer-away", 503, false, "The peer does not answer."},
	{PeerBusy, "peer-busy", 503, true, "The peer is already running the maximum number of calls from this process."},

	{OwnershipLost, "deposed", 503, true, "Another instance now owns the shard or key range."},
	{JournalUnavailable, "journal-away", 503, true, "The decision cannot be recorded in the journal now."},
	{JournalCorrupt, "journal-broken", 500, false, "A row or snapshot of the journal is missing or cannot be decoded."},
	{LeaseExpired, "lease-lapsed", 409, true, "The lease has expired."},
	{LeaseBoundExhausted, "promise-spent", 503, true, "The lease bound recorded in the journal allows no further lease."},

	{WorkerEpoch, "worker-epoch", 409, true, "The worker has already received a command with a higher epoch."},
	{WorkerGrantExpired, "worker-stamp", 409, true, "The lease grant had expired by the worker's clock when the command arrived."},
	{WorkerIncarnation, "worker-incarnation", 409, true, "The worker has restarted since the decision was made."},
	{WorkerUnavailable, "worker-away", 503, false, "The worker does not answer."},
	{WorkerFull, "worker-full", 409, true, "The worker does not have enough free capacity for the run."},
	{TaskCrashesWorkers, "task-crashes-workers", 500, false, "Workers crash one after the other when they start the task; its job has failed."},
}
