package event

import "github.com/sirupsen/logrus"

// Events, numbered by subject: 1xx entry, 2xx platform and session, 3xx
// peers, 4xx replica groups, 5xx requests, 6xx configuration.
var (
	Started                  = Event{100, logrus.InfoLevel, "entry started"}
	Stopping                 = Event{101, logrus.InfoLevel, "entry is shutting down: it accepts no new requests and finishes those in flight"}
	Stopped                  = Event{102, logrus.InfoLevel, "entry stopped"}
	PlatformUnreachable      = Event{200, logrus.WarnLevel, "platform unreachable"}
	PlatformReachable        = Event{201, logrus.InfoLevel, "platform reachable again"}
	SessionOpened            = Event{202, logrus.InfoLevel, "session opened"}
	SessionLost              = Event{203, logrus.WarnLevel, "session lost: another entry marked it as lapsed"}
	SessionLapsed            = Event{204, logrus.WarnLevel, "session of an unresponsive entry marked as lapsed"}
	SessionRelayed           = Event{205, logrus.InfoLevel, "session renewed through a peer"}
	RowInvalid               = Event{206, logrus.ErrorLevel, "invalid table row"}
	PeerConnected            = Event{300, logrus.InfoLevel, "peer connected"}
	PeerLost                 = Event{301, logrus.WarnLevel, "peer connection lost"}
	PeerRejected             = Event{302, logrus.WarnLevel, "peer rejected: wrong key"}
	RowSourceChanged         = Event{303, logrus.InfoLevel, "source of the store's rows changed"}
	GroupFormed              = Event{400, logrus.InfoLevel, "replica group formed"}
	GroupTakenOver           = Event{401, logrus.InfoLevel, "replica group taken over"}
	GroupComplete            = Event{402, logrus.InfoLevel, "replica group complete"}
	GroupIncomplete          = Event{403, logrus.WarnLevel, "replica group incomplete: it receives no new requests"}
	GroupRepaired            = Event{404, logrus.InfoLevel, "replica group repaired: member replaced"}
	GroupReformed            = Event{405, logrus.InfoLevel, "replica group re-formed in another fabric domain"}
	GroupReleased            = Event{406, logrus.InfoLevel, "replica group released"}
	OrderFailed              = Event{407, logrus.WarnLevel, "order to a backend server failed"}
	GroupSuperseded          = Event{408, logrus.WarnLevel, "a newer generation of the replica group exists"}
	QuarantineEnded          = Event{409, logrus.InfoLevel, "instance released from quarantine"}
	GroupHandedOver          = Event{410, logrus.InfoLevel, "replica group handed over to another entry"}
	StreamResumed            = Event{500, logrus.InfoLevel, "attempt of a streamed response failed: resuming the response"}
	WrongEventRejected       = Event{501, logrus.WarnLevel, "backend server sent an event of another response"}
	RequestFailed            = Event{502, logrus.WarnLevel, "request failed"}
	ConfigApplied            = Event{600, logrus.InfoLevel, "configuration revision in force"}
	ConfigRejected           = Event{601, logrus.ErrorLevel, "configuration change can't be applied"}
	ConfigFromPeer           = Event{602, logrus.InfoLevel, "configuration read from a peer"}
	ConfigSnapshot           = Event{603, logrus.InfoLevel, "configuration snapshot stored"}
	SnapshotFailed           = Event{604, logrus.WarnLevel, "configuration snapshot not stored"}
	ProvisionalOrderAccepted = Event{605, logrus.WarnLevel, "provisional order accepted: the platform is unreachable"}
	ProvisionalOrderRecorded = Event{606, logrus.InfoLevel, "provisional order recorded in the table"}
	ListenerFailed           = Event{103, logrus.ErrorLevel, "listener failed"}
	HandlerPanicked          = Event{104, logrus.ErrorLevel, "handler panicked"}
	SettingsReloaded         = Event{107, logrus.InfoLevel, "settings file reloaded"}
	SettingsRejected         = Event{108, logrus.ErrorLevel, "settings file invalid: the previous settings stay in force"}
	LogLinesDropped          = Event{106, logrus.WarnLevel, "log lines were dropped"}
	ServerRecordChanged      = Event{207, logrus.InfoLevel, "server record changed"}
	ServerRecordStale        = Event{208, logrus.WarnLevel, "server record ignored: a newer one is known"}
	ControllerLeaseAcquired  = Event{209, logrus.InfoLevel, "controller lease of the zone acquired"}
	ControllerLeaseLost      = Event{210, logrus.WarnLevel, "controller lease of the zone lost"}
	CallRejected             = Event{211, logrus.ErrorLevel, "platform's store rejected a call"}
	StoreRestored            = Event{212, logrus.WarnLevel, "platform's store has come back from an older copy"}
	StoreSettled             = Event{213, logrus.InfoLevel, "rows that the platform's store had lost are written again or gone"}
	OrderSent                = Event{411, logrus.InfoLevel, "order sent to a backend server"}
	GroupPhaseChanged        = Event{412, logrus.InfoLevel, "replica group phase changed"}
	ServerUnresponsive       = Event{413, logrus.WarnLevel, "backend server does not respond to probes"}
	ServerResponsive         = Event{414, logrus.InfoLevel, "backend server responds to probes again"}
	LimitChanged             = Event{415, logrus.InfoLevel, "backend server's request limit changed"}
	LimitInvalid             = Event{416, logrus.WarnLevel, "backend server named an invalid request limit or time: it is ignored"}
	LimitsAllocated          = Event{417, logrus.InfoLevel, "entry that allocates the request limits of the zone's servers changed"}
	ServerLeaving            = Event{418, logrus.InfoLevel, "backend server says that it leaves: it gets no new requests"}
	ServerWaits              = Event{419, logrus.InfoLevel, "backend server has asked for time: it gets no requests meanwhile"}
	PlanChanged              = Event{420, logrus.InfoLevel, "number of replica groups to form by model changed"}
	DemandInvalid            = Event{421, logrus.WarnLevel, "entry reported an invalid demand: it is ignored"}
	PlanBasisChanged         = Event{422, logrus.InfoLevel, "replica groups are planned by another basis"}
	UnrecordedServerUsed     = Event{423, logrus.InfoLevel, "requests go on to a backend server whose record is gone"}
	GroupKept                = Event{424, logrus.InfoLevel, "replica group goes on although members have no server record"}
	RecordsLost              = Event{425, logrus.WarnLevel, "many server records went at one moment: the servers have probably lost the store"}
	QueueOrderChanged        = Event{428, logrus.InfoLevel, "order of the request queues changed"}
	CallersReturnEarly       = Event{429, logrus.WarnLevel, "callers send rejected requests again before the time that they were asked to wait"}
	AttemptBroken            = Event{504, logrus.WarnLevel, "attempt of a streamed response broke off; its server was probed"}
	PartQuarantined          = Event{505, logrus.WarnLevel, "prompt part in quarantine: requests with it are rejected"}
	PartReleased             = Event{506, logrus.InfoLevel, "prompt part released from quarantine"}
	PartTried                = Event{507, logrus.InfoLevel, "prompt part in quarantine: one request may try it"}
	StreamCut                = Event{508, logrus.ErrorLevel, "stream was cut: its response ended in the middle"}
	RequestServed            = Event{503, logrus.InfoLevel, "request served"}
	EvacuatedZonesChanged    = Event{607, logrus.InfoLevel, "set of evacuated zones changed"}
	ClientCutOff             = Event{109, logrus.WarnLevel, "client's connection closed to make room for others"}
	ConnectionsCutOff        = Event{110, logrus.WarnLevel, "callers' connections closed at the end of the shutdown with a request or response in progress"}
	ShutdownTimedOut         = Event{105, logrus.WarnLevel, "requests in flight were cut off at the shutdown timeout"}
)

// All returns every event.
func All() []Event {
	return []Event{
		Started, Stopping, Stopped, ListenerFailed, HandlerPanicked, ClientCutOff, ShutdownTimedOut, ConnectionsCutOff,
		PlatformUnreachable, PlatformReachable, SessionOpened, SessionLost, SessionLapsed, SessionRelayed, RowInvalid,
		PeerConnected, PeerLost, PeerRejected, RowSourceChanged,
		GroupFormed, GroupTakenOver, GroupComplete, GroupIncomplete, GroupRepaired,
		GroupReformed, GroupReleased, OrderFailed, GroupSuperseded, QuarantineEnded, GroupHandedOver,
		StreamResumed, WrongEventRejected, RequestFailed, StreamCut, AttemptBroken, PartQuarantined, PartReleased, PartTried,
		ConfigApplied, ConfigRejected, ConfigFromPeer, ConfigSnapshot, SnapshotFailed,
		ProvisionalOrderAccepted, ProvisionalOrderRecorded,
		LogLinesDropped, SettingsReloaded, SettingsRejected, ServerRecordChanged, ServerRecordStale, ControllerLeaseAcquired, ControllerLeaseLost, CallRejected, StoreRestored, StoreSettled,
		OrderSent, GroupPhaseChanged, ServerUnresponsive, ServerResponsive, LimitChanged, LimitInvalid, LimitsAllocated, ServerLeaving, ServerWaits, PlanChanged, DemandInvalid, PlanBasisChanged, UnrecordedServerUsed, GroupKept, RecordsLost, QueueOrderChanged, CallersReturnEarly, RequestServed, EvacuatedZonesChanged,
	}
}
