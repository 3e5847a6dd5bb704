package event

import "github.com/sirupsen/logrus"

// The events, by hundreds: 1xx instance, 2xx platform and session, 3xx peers,
// 4xx replica groups, 5xx requests, 6xx configuration.
var (
	Started                  = Event{100, logrus.InfoLevel, "entry started"}
	Stopping                 = Event{101, logrus.InfoLevel, "entry stops: no new work, requests in progress finish"}
	Stopped                  = Event{102, logrus.InfoLevel, "entry stopped"}
	PlatformUnreachable      = Event{200, logrus.WarnLevel, "platform can't be reached"}
	PlatformReachable        = Event{201, logrus.InfoLevel, "platform can be reached again"}
	SessionOpened            = Event{202, logrus.InfoLevel, "session opened"}
	SessionLost              = Event{203, logrus.WarnLevel, "session lost: another entry lapsed it"}
	SessionLapsed            = Event{204, logrus.WarnLevel, "lapsed the session of a silent entry"}
	SessionRelayed           = Event{205, logrus.InfoLevel, "session renewed through a peer"}
	RowInvalid               = Event{206, logrus.ErrorLevel, "a row of the table can't be read"}
	PeerConnected            = Event{300, logrus.InfoLevel, "peer connected"}
	PeerLost                 = Event{301, logrus.WarnLevel, "peer connection lost"}
	PeerRejected             = Event{302, logrus.WarnLevel, "peer refused: wrong key"}
	GroupFormed              = Event{400, logrus.InfoLevel, "replica group formed"}
	GroupTakenOver           = Event{401, logrus.InfoLevel, "replica group taken over"}
	GroupComplete            = Event{402, logrus.InfoLevel, "replica group complete"}
	GroupIncomplete          = Event{403, logrus.WarnLevel, "replica group incomplete: it gets no new work"}
	GroupRepaired            = Event{404, logrus.InfoLevel, "replica group got a new member"}
	GroupReformed            = Event{405, logrus.InfoLevel, "replica group formed anew in another fabric domain"}
	GroupReleased            = Event{406, logrus.InfoLevel, "replica group released"}
	OrderFailed              = Event{407, logrus.WarnLevel, "order to a backend server failed"}
	GroupSuperseded          = Event{408, logrus.WarnLevel, "a newer generation of the replica group exists"}
	QuarantineEnded          = Event{409, logrus.InfoLevel, "instance left quarantine"}
	GroupHandedOver          = Event{410, logrus.InfoLevel, "replica group handed over to another entry"}
	StreamResumed            = Event{500, logrus.InfoLevel, "answer resumed"}
	WrongEventRejected       = Event{501, logrus.WarnLevel, "backend server sent an event of another answer"}
	RequestFailed            = Event{502, logrus.WarnLevel, "request failed"}
	ConfigApplied            = Event{600, logrus.InfoLevel, "configuration revision in force"}
	ConfigRejected           = Event{601, logrus.ErrorLevel, "configuration change can't be applied"}
	ConfigFromPeer           = Event{602, logrus.InfoLevel, "configuration read from a peer"}
	ConfigSnapshot           = Event{603, logrus.InfoLevel, "configuration snapshot stored"}
	SnapshotFailed           = Event{604, logrus.WarnLevel, "configuration snapshot not stored"}
	ProvisionalOrderAccepted = Event{605, logrus.WarnLevel, "order holds provisionally: the platform can't be reached"}
	ProvisionalOrderRecorded = Event{606, logrus.InfoLevel, "provisional order recorded in the table"}
	ListenerFailed           = Event{103, logrus.ErrorLevel, "listener failed"}
	HandlerPanicked          = Event{104, logrus.ErrorLevel, "handler panicked"}
	SettingsReloaded         = Event{107, logrus.InfoLevel, "settings file read again"}
	SettingsRejected         = Event{108, logrus.ErrorLevel, "settings file can't be used: the last good settings stay"}
	LinesDropped             = Event{106, logrus.WarnLevel, "log lines were dropped"}
	ServerRecordChanged      = Event{207, logrus.InfoLevel, "server entry changed"}
	ServerRecordStale        = Event{208, logrus.WarnLevel, "server entry is older than what is known: passed over"}
	ControllerLeaseAcquired  = Event{209, logrus.InfoLevel, "stewardship of the zone taken"}
	ControllerLeaseLost      = Event{210, logrus.WarnLevel, "stewardship of the zone lost"}
	OrderSent                = Event{411, logrus.InfoLevel, "order given to a backend server"}
	GroupPhaseChanged        = Event{412, logrus.InfoLevel, "replica group changed its phase"}
	ServerUnresponsive       = Event{413, logrus.WarnLevel, "server does not answer a direct question"}
	ServerResponsive         = Event{414, logrus.InfoLevel, "server answers direct questions again"}
	RequestServed            = Event{503, logrus.InfoLevel, "request served"}
	EvacuatedZonesChanged    = Event{607, logrus.InfoLevel, "zones that get no work changed"}
	ShutdownTimedOut         = Event{105, logrus.WarnLevel, "requests in progress were cut at the shutdown timeout"}
)

// All lists every event.
func All() []Event {
	return []Event{
		Started, Stopping, Stopped, ListenerFailed, HandlerPanicked, ShutdownTimedOut,
		PlatformUnreachable, PlatformReachable, SessionOpened, SessionLost, SessionLapsed, SessionRelayed, RowInvalid,
		PeerConnected, PeerLost, PeerRejected,
		GroupFormed, GroupTakenOver, GroupComplete, GroupIncomplete, GroupRepaired,
		GroupReformed, GroupReleased, OrderFailed, GroupSuperseded, QuarantineEnded, GroupHandedOver,
		StreamResumed, WrongEventRejected, RequestFailed,
		ConfigApplied, ConfigRejected, ConfigFromPeer, ConfigSnapshot, SnapshotFailed,
		ProvisionalOrderAccepted, ProvisionalOrderRecorded,
		LinesDropped, SettingsReloaded, SettingsRejected, ServerRecordChanged, ServerRecordStale, ControllerLeaseAcquired, ControllerLeaseLost,
		OrderSent, GroupPhaseChanged, ServerUnresponsive, ServerResponsive, RequestServed, EvacuatedZonesChanged,
	}
}
