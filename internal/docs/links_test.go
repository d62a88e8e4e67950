package docs

import (
	"path"
	"regexp"
	"strings"
	"testing"
)

// Each link in README.md and the pages under docs points to an existing file and an existing
// heading.
func TestLinksResolve(t *testing.T) {
	repo := readRepository(t)
	for _, name := range repo.pages(t) {
		for _, link := range linksOf(repo.read(t, name)) {
			file, anchor, _ := strings.Cut(link, "#")
			target := path.Join(path.Dir(name), file)
			if file == "" {
				target = name
			}
			switch {
			case strings.Contains(link, "://"):
			case !repo.paths[target]:
				t.Errorf("%s: link %s: no such file", name, link)
			case anchor != "" && !anchorsOf(repo.read(t, target))[anchor]:
				t.Errorf("%s: link %s: no such heading", name, link)
			}
		}
	}
}

// Links and anchors are derived from Markdown as repository hosts render it.
func TestLinkAndAnchorParsing(t *testing.T) {
	links := linksOf("See [a](B.md#c) and [`d`](#e).\n")
	if len(links) != 2 || links[0] != "B.md#c" || links[1] != "#e" {
		t.Errorf("got links %q, want B.md#c and #e", links)
	}
	anchors := anchorsOf("# What `it` is, in short\n## 503: many\nno # heading\n")
	if len(anchors) != 2 || !anchors["what-it-is-in-short"] || !anchors["503-many"] {
		t.Errorf("got anchors %v, want what-it-is-in-short and 503-many", anchors)
	}
}

var (
	linkPattern    = regexp.MustCompile(`\]\(([^() ]+)\)`)
	headingPattern = regexp.MustCompile(`(?m)^#+ (.+)$`)
	notInAnchors   = regexp.MustCompile("[^a-z0-9 _-]")
)

// linksOf returns the targets of the links in a page.
func linksOf(text string) (targets []string) {
	for _, link := range linkPattern.FindAllStringSubmatch(text, -1) {
		targets = append(targets, link[1])
	}
	return targets
}

// anchorsOf returns the set of anchors of the headings in a page.
func anchorsOf(text string) map[string]bool {
	anchors := map[string]bool{}
	for _, heading := range headingPattern.FindAllStringSubmatch(text, -1) {
		plain := notInAnchors.ReplaceAllString(strings.ToLower(heading[1]), "")
		anchors[strings.ReplaceAll(plain, " ", "-")] = true
	}
	return anchors
}
