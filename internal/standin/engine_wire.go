package standin

type engineHealthWire struct {
	State      string `json:"state"`
	Group      string `json:"group"`
	Generation uint64 `json:"generation"`
	Running    int    `json:"running"`
	Queued     int    `json:"queued"`
	Leaving    bool   `json:"leaving"`
}

type roleWire struct {
	Group      string   `json:"group"`
	Generation uint64   `json:"generation"`
	Rank       int      `json:"rank"`
	Members    []string `json:"members"`
	Model      string   `json:"model"`
}

type messageWire struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type generateWire struct {
	Model                string        `json:"model"`
	Messages             []messageWire `json:"messages"`
	Prompt               string        `json:"prompt"`
	MaxTokens            int           `json:"max_tokens"`
	ContinueFinalMessage bool          `json:"continue_final_message"`
}
